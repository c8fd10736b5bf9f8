/**
 * Which groups to form, drain and dissolve, as a pure function of what is known.
 */
package org.pistachioline.core.planner;

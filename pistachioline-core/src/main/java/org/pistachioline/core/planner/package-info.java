/**
 * Decides which replica groups to form, drain and dissolve, as a function of the
 * planner's input and its memory.
 */
package org.pistachioline.core.planner;

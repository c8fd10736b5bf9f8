/**
 * Pure decisions and agreed state: time comes in as an argument, nothing reads or writes.
 */
package org.pistachioline.core;

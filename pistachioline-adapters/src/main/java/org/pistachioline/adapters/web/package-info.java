/**
 * HTTP over Netty with few layers: one client and one server, for processes that must be
 * fast within seconds of their start.
 */
package org.pistachioline.adapters.web;

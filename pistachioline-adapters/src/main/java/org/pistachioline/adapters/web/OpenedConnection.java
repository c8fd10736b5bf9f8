package org.pistachioline.adapters.web;

import io.netty.channel.Channel;

/**
 * An established connection on which nothing has been sent.
 *
 * @param channel the channel
 * @param reusable whether it may carry further requests after the first one
 */
public record OpenedConnection(Channel channel, boolean reusable) {

}

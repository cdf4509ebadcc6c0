package org.banyanspoke.peer;

/**
 * What a transport has carried since its start, without TCP/IP headers.
 *
 * @param messagesSent all frames sent, with replies, greetings and heartbeats
 * @param controlBytesSent bytes of the frames sent that carry no callers' jobs
 * @param controlBytesReceived bytes of the frames received that carry no callers' jobs
 */
public record PeerTraffic(long messagesSent, long controlBytesSent, long controlBytesReceived) {}

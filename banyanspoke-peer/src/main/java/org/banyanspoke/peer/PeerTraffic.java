package org.banyanspoke.peer;

/**
 * Traffic counters of a transport since its start, without TCP/IP headers.
 *
 * @param messagesSent number of frames sent, including replies, Hello frames and heartbeats
 * @param controlBytesSent bytes of sent frames other than jobs and job replies
 * @param controlBytesReceived bytes of received frames other than jobs and job replies
 */
public record PeerTraffic(long messagesSent, long controlBytesSent, long controlBytesReceived) {}

/** Client library. Command objects are configured with setters and then called once. */
package org.banyanspoke.client;

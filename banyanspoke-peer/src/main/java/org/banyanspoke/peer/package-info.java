/** Transport for messages between entry hosts. */
package org.banyanspoke.peer;

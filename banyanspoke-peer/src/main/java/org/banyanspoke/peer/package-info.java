/** Messages between entry hosts: transport and errors. */
package org.banyanspoke.peer;

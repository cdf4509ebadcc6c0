/** Client library: each request is a small command object that is set up and then called once. */
package org.banyanspoke.client;

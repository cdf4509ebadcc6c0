/** Parts of the control plane. Everything runs on the control thread unless stated otherwise. */
package org.banyanspoke.daemon.control.internal;

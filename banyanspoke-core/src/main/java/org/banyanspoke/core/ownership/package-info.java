/** Which entry host dispatches to the servers of a zone, and to which dispatcher a job goes. Safety lies with fencing tokens. */
package org.banyanspoke.core.ownership;

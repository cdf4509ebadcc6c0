package org.banyanspoke.kernel;

/** A part of the process with a start and a stop. */
public interface Service {
    /**
     * Starts the service. Services registered before this one have started and can be looked up.
     *
     * @param kernel finds other services
     * @throws Exception if the service cannot start; the kernel then stops those already started
     */
    void start(Kernel kernel) throws Exception;

    /**
     * Stops the service and waits until it has ended. Called once after a successful start.
     *
     * @throws Exception if the stop fails; the kernel goes on with the other services
     */
    void stop() throws Exception;
}

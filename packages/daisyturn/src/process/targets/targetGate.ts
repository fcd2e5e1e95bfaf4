/** Decides whether new work may be sent to a target; queried right before each dispatch. */
export interface TargetGate {
    /**
     * Returns false while a partner has a hold on the target, an order on it is in progress, its VM leaves, or this
     * process is out of service.
     */
    isOpen(targetName: string): boolean;
    /** Closes an engine for an order until it is released or the monotonic `deadline` has passed. */
    close(targetName: string, orderId: string, deadline: number): void;
    release(targetName: string, orderId: string): void;
    /** Counts a request as in flight at the target. The returned function ends the count. */
    enter(targetName: string): () => void;
    inFlight(targetName: string): number;
}

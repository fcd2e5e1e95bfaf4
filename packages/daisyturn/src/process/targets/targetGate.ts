/** Whether new work may go to a target at this moment; asked right before each dispatch. */
export interface TargetGate {
    /** False while any partner holds it, an order is under way, its VM leaves, or this process is out of service. */
    isOpen(targetName: string): boolean;
    /** Closes an engine for an order; stays closed until released or until `deadline` (monotonic). */
    close(targetName: string, orderId: string, deadline: number): void;
    release(targetName: string, orderId: string): void;
    /** Counts a request that was sent to the target; the result ends the count. */
    enter(targetName: string): () => void;
    inFlight(targetName: string): number;
}

import { Clock } from "daisyturn-utils";

/** The clock of a process that a test can pause. Time advances during a pause, but sleeps end only after it. */
export class PausableClock extends Clock {
    private resumed: Promise<void> | undefined;
    private release: () => void = () => undefined;

    constructor(private readonly clock: Clock) {
        super();
    }

    pause(): void {
        this.resumed = new Promise(resolve => this.release = resolve);
    }

    resume(): void {
        this.resumed = undefined;
        this.release();
    }

    override monotonicNow(): number {
        return this.clock.monotonicNow();
    }

    override wallNow(): number {
        return this.clock.wallNow();
    }

    override async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
        await this.clock.sleepUntil(deadline, signal);
        await this.resumed;
    }
}

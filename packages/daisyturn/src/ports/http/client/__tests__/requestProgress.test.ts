import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Dispatcher } from "undici";
import { type RequestProgress, trackRequestProgress } from "../requestProgress.js";

/** Starts each request `beginnings` times and counts the starts that were allowed. */
class BeginningDispatcher extends Dispatcher {
    allowed = 0;

    constructor(private readonly beginnings: number) {
        super();
    }

    override dispatch(...[, handler]: Parameters<Dispatcher["dispatch"]>): boolean {
        for (let index = 0; index < this.beginnings; index++) {
            let aborted = false;
            const controller = {
                aborted: false,
                paused: false,
                reason: new Error("unused"),
                abort: () => {
                    aborted = true;
                },
                pause: () => undefined,
                resume: () => undefined,
            };
            handler.onRequestStart?.(controller, {});
            this.allowed += aborted ? 0 : 1;
        }
        return true;
    }
}

function dispatchOnce(dispatcher: Dispatcher, progress: RequestProgress): void {
    const options = { path: "/", method: "POST" as const, opaque: progress };
    trackRequestProgress(dispatcher).dispatch(options, { onRequestStart: () => undefined });
}

describe("trackRequestProgress", () => {
    it("records that a request is started, and allows one start only", () => {
        const progress = { started: false, abandoned: false };
        const dispatcher = new BeginningDispatcher(2);
        dispatchOnce(dispatcher, progress);
        assert.deepEqual([progress.started, dispatcher.allowed], [true, 1]);
    });

    it("does not start an abandoned request", () => {
        const progress = { started: false, abandoned: true };
        const dispatcher = new BeginningDispatcher(1);
        dispatchOnce(dispatcher, progress);
        assert.deepEqual([progress.started, dispatcher.allowed], [false, 0]);
    });
});

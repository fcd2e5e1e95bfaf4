import type { ProcessIdentity } from "daisyturn";
import type { Clock } from "daisyturn-utils";
import { randomBytes } from "node:crypto";
import type { DaemonSettings } from "../settings/daemonSettings.js";

/** Digits of the start time in base 36; enough until the year 5188. */
const startTimeDigits = 9;
const randomByteCount = 3;

/**
 * Creates the identity of this incarnation of the process. The incarnation starts with the wall time of the start, so
 * that a later one sorts after an earlier one. If the wall clock is set back across a restart, this order breaks; peers
 * then only take longer to presume the earlier incarnation ended.
 */
export function createIdentity(settings: DaemonSettings, clock: Clock): ProcessIdentity {
    const { listen, advertise } = settings.peers;
    const startTime = clock.wallNow().toString(36).padStart(startTimeDigits, "0");
    return {
        processId: settings.process.id,
        incarnation: `${startTime}${randomBytes(randomByteCount).toString("hex")}`,
        vmId: settings.process.vmId,
        availabilityZone: settings.process.availabilityZone,
        peerAddress: advertise ?? `${listen.host}:${listen.port}`,
    };
}

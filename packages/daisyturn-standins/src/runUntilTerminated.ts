import { once } from "node:events";
import type { StandInServer } from "./httpListener.js";

/** Starts a stand-in, prints its address, and closes it on SIGTERM or SIGINT. */
export async function runUntilTerminated(start: () => Promise<StandInServer>): Promise<void> {
    const server = await start();
    process.stdout.write(`listening url=${server.url}\n`);
    await Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
    await server.close();
}

// The entry program of a fleet. At SIGUSR2, its links to all targets are cut: open connections are reset, and new ones
// are refused.
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { Socket } from "node:net";
import * as path from "node:path";

/** All targets of a fleet, and the platform, listen at this host; entries listen for each other at others. */
const targetHost = "127.0.0.1";

interface ConnectOptions {
    readonly host?: string;
    readonly hostname?: string;
    readonly port?: number | string;
}

const settings = readFileSync(process.argv[process.argv.indexOf("--settings") + 1] ?? "", "utf8");
const platform = /url: http:\/\/(\S+)/.exec(settings)?.[1];
const open = new Set<Socket>();
let isCut = false;

const connect = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket;
Socket.prototype.connect = function(this: Socket, ...args: unknown[]) {
    const [first] = args;
    const { host, hostname, port } = (Array.isArray(first) ? first[0] : first) as ConnectOptions;
    const address = `${host ?? hostname}:${port}`;
    if (!address.startsWith(`${targetHost}:`) || address === platform) {
        return connect.apply(this, args);
    }
    if (isCut) {
        const error = Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
        setImmediate(() => this.destroy(error));
        return this;
    }
    open.add(this);
    this.once("close", () => open.delete(this));
    return connect.apply(this, args);
} as typeof Socket.prototype.connect;

process.on("SIGUSR2", () => {
    isCut = true;
    open.forEach(socket => socket.resetAndDestroy());
});

const daemon = createRequire(import.meta.url).resolve("daisyturn-daemon");
await import(path.join(path.dirname(daemon), "main.js"));

/** Addresses start at 127.64.0.1. The usual one, 127.0.0.1, is left to other programs. */
const firstNetwork = 64;
const networks = 128;
const numbersPerByte = 256;
const hostsPerNetwork = 254;
let allocated = 0;

/**
 * Returns a loopback address that is derived from the process id and a counter, so that it is not shared. Processes that
 * run tests at the same time also search for free ports, so a free port of a shared address may be in use before the
 * test opens it.
 */
export function allocateLoopbackHost(): string {
    const network = firstNetwork + Math.floor(process.pid / numbersPerByte) % networks;
    const host = 1 + allocated++ % hostsPerNetwork;
    return `127.${network}.${process.pid % numbersPerByte}.${host}`;
}

/** Loopback addresses from 127.64.0.1 on: the usual one, 127.0.0.1, is left to other programs. */
const firstNetwork = 64;
const networks = 128;
const numbersPerByte = 256;
const hostsPerNetwork = 254;
let allocated = 0;

/**
 * A loopback address of one's own: processes that run tests at the same time look for free ports too, and one that was
 * free a moment ago may be allocated by then.
 */
export function allocateLoopbackHost(): string {
    const network = firstNetwork + Math.floor(process.pid / numbersPerByte) % networks;
    const host = 1 + allocated++ % hostsPerNetwork;
    return `127.${network}.${process.pid % numbersPerByte}.${host}`;
}

/** Splits an address of the form host:port. An IPv6 number is in brackets. */
export function splitAddress(address: string): [host: string, port: number] {
    const colon = address.lastIndexOf(":");
    return [address.slice(0, colon).replace(/^\[(.*)\]$/, "$1"), Number(address.slice(colon + 1))];
}

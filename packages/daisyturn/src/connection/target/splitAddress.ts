/** Splits an address of the form host:port. */
export function splitAddress(address: string): [host: string, port: number] {
    const colon = address.lastIndexOf(":");
    return [address.slice(0, colon), Number(address.slice(colon + 1))];
}

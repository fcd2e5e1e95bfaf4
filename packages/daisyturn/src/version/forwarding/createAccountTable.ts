import type { ForwardAccount } from "./forwardingConfiguration.js";

/** Lookup table for the keys of the client accounts of one configuration. */
export interface AccountTable {
    /** Returns the account that holds a key; undefined if none does, or several do. */
    find(key: string): ForwardAccount | undefined;
    /** Accounts that share a key with another one. The shared keys identify no account. */
    readonly ambiguousAccounts: readonly string[];
    /** Number of keys, without those of several accounts. */
    readonly keyCount: number;
}

/** Creates the table. A lookup takes the same time however many keys there are. */
export function createAccountTable(accounts: readonly ForwardAccount[]): AccountTable {
    const holders = new Map<string, ForwardAccount>();
    const sharedKeys = new Set<string>();
    const ambiguous = new Set<string>();
    for (const account of accounts) {
        for (const key of account.keys) {
            const holder = holders.get(key);
            if (holder && holder.name !== account.name) {
                sharedKeys.add(key);
                ambiguous.add(holder.name).add(account.name);
            }
            holders.set(key, account);
        }
    }
    sharedKeys.forEach(key => holders.delete(key));
    return {
        find: key => holders.get(key),
        ambiguousAccounts: [...ambiguous],
        keyCount: holders.size,
    };
}

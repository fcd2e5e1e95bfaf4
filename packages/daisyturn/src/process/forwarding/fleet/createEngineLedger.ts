import type { Clock } from "daisyturn-utils";
import type { DutyAnswer } from "../../../ports/duties/fleetDuties.js";
import { type NumberOrder, OrderReason } from "./chooseOrders.js";
import { type EngineKind, engineKinds, type FleetNumbers, type KindNumbers, noEngines } from "./fleetNumbers.js";
import { beginOrder, createLedgerEntry, type LedgerEntry, updateEntry } from "./ledgerEntry.js";

/** Engines of one kind in one zone, as the list of targets has them. */
export interface ListedEngines {
    readonly zone: string;
    readonly kind: EngineKind;
    /** Engines that take work. */
    readonly open: number;
    /** Engines that the platform takes away at short notice. */
    readonly leavingAtNotice: number;
}

/** What one process has ordered for a service, compared with what is listed. */
export interface EngineLedger {
    /** Takes the listed engines into account. */
    update(listed: readonly ListedEngines[]): void;
    /** Numbers that the platform was asked for; engines that did not come in time no longer count. */
    ordered(): FleetNumbers;
    /** The number that the platform has, as far as known; an order for more engines must not be lower. */
    stated(zone: string, kind: EngineKind): number;
    /** The largest number of each kind that may be ordered in a zone at the moment. */
    available(zone: string, isReclaimableOffered: boolean): KindNumbers;
    /** Orders to make again, because the platform may not have the numbers. */
    listRestated(): readonly NumberOrder[];
    /** Whether an order for this kind is in progress or without an answer, or was made a moment ago. */
    isBusy(zone: string, kind: EngineKind): boolean;
    /** Records an order right before it is sent. @returns records its answer; undefined if the order was not sent */
    begin(order: NumberOrder): (answer: DutyAnswer | undefined) => void;
}

/** What {@link createEngineLedger} needs. */
export interface EngineLedgerOptions {
    /** Time from an order until a new engine takes work, in milliseconds. */
    readonly bootMilliseconds: () => number;
    readonly clock: Clock;
}

/** Orders for one kind in a zone are at least this far apart, so that each is listed or answered before the next. */
const minIntervalMilliseconds = 1_000;

interface NamedEntry {
    readonly zone: string;
    readonly kind: EngineKind;
    readonly state: LedgerEntry;
}

/** Creates the ledger of one service. The engines at the first update count as ordered. */
export function createEngineLedger({ bootMilliseconds, clock }: EngineLedgerOptions): EngineLedger {
    const entries = new Map<string, NamedEntry>();

    const find = (zone: string, kind: EngineKind, open = 0): LedgerEntry => {
        const name = `${kind} ${zone}`;
        const entry = entries.get(name) ?? { zone, kind, state: createLedgerEntry(open) };
        entries.set(name, entry);
        return entry.state;
    };

    return {
        update: listed => {
            for (const { zone, kind, open, leavingAtNotice } of listed) {
                const entry = find(zone, kind, open);
                entry.open = open;
                updateEntry(entry, leavingAtNotice, clock.monotonicNow(), bootMilliseconds());
            }
        },
        ordered: () => {
            const fleet = new Map<string, KindNumbers>();
            for (const { zone, kind, state } of entries.values()) {
                fleet.set(zone, { ...fleet.get(zone) ?? noEngines, [kind]: state.ordered });
            }
            return fleet;
        },
        stated: (zone, kind) => find(zone, kind).stated,
        available: (zone, isReclaimableOffered) => {
            const limits = engineKinds.map(kind => {
                const entry = find(zone, kind);
                return [kind, entry.pausedUntil > clock.monotonicNow() ? entry.ordered : Infinity] as const;
            });
            const available = Object.fromEntries(limits) as Record<EngineKind, number>;
            return isReclaimableOffered ? available : { ...available, reclaimable: 0 };
        },
        listRestated: () => {
            const now = clock.monotonicNow();
            return [...entries.values()]
                .filter(({ state }) => !state.isSending && Math.min(state.restateAt, state.confirmAt) <= now)
                .map(({ zone, kind, state }) => ({
                    zone,
                    kind,
                    desired: state.ordered,
                    reason: OrderReason.Restated,
                }));
        },
        isBusy: (zone, kind) => {
            const { isSending, sentAt, restateAt } = find(zone, kind);
            return isSending || clock.monotonicNow() - sentAt < minIntervalMilliseconds || restateAt < Infinity;
        },
        begin: ({ zone, kind, desired }) => {
            const recordAnswer = beginOrder(find(zone, kind), desired, clock.monotonicNow());
            return answer => recordAnswer(answer, clock.monotonicNow());
        },
    };
}

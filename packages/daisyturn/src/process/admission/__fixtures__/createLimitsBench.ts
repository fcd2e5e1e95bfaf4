import { FakeClock } from "daisyturn-utils";
import { createFakeIdentity, createFakePeerNetworks } from "../../../__fixtures__/fakePeerNetwork.js";
import { createAccount } from "../../../version/__fixtures__/items.js";
import { createLoadExchange, MemberState } from "../../peers/index.js";
import {
    createFixedConfigurationManager,
    createScriptedMembership,
} from "../../routing/__fixtures__/createDecisionBench.js";
import { createAccountLimits } from "../accountLimits.js";
import type { AdmissionTicket } from "../admission.js";

/** Milliseconds; every third exchange sends the full state. */
const exchangeInterval = 100;

/** Several processes that limit one account, with a network between them that tests can partition. */
export function createLimitsBench(count: number, requestsPerSecond: number, concurrentRequests = 1_000) {
    const clock = new FakeClock();
    const networks = createFakePeerNetworks(clock);
    const stopper = new AbortController();
    const account = { ...createAccount("nyamata", "desk", []), requestsPerSecond, concurrentRequests };
    const configurationManager = createFixedConfigurationManager([account]);
    const dead = new Set<string>();
    const identities = [...Array(count).keys()].map(index => createFakeIdentity(`p${index}`));
    const processes = identities.map(self => {
        const network = networks.join(self);
        const others = identities.filter(other => other !== self);
        const membership = createScriptedMembership(others, dead);
        membership.others = () => others.map(identity => ({ identity, state: MemberState.Alive }));
        const exchange = createLoadExchange({
            network,
            membership,
            clock,
            exchangeIntervalMilliseconds: exchangeInterval,
        });
        const limits = createAccountLimits({ exchange, membership, configurationManager, clock });
        void exchange.run(stopper.signal);
        return { limits, membership };
    });
    let admitted = 0;

    /** Requests admission once at a process; returns the ticket if the request was admitted. */
    const ask = (index: number): AdmissionTicket | undefined => {
        const result = processes[index]!.limits.admit(account);
        admitted += result.isOk ? 1 : 0;
        return result.isOk ? result.value : undefined;
    };

    /** Sends `perSecond` requests per second to each process of `indexes`; returns how many were admitted. */
    const sendLoad = async (indexes: readonly number[], perSecond: number, seconds: number) => {
        const before = admitted;
        const interval = 1_000 / perSecond;
        for (let round = 0; round < seconds * perSecond; round++) {
            indexes.forEach(index => ask(index)?.release());
            await clock.advance(interval);
        }
        return admitted - before;
    };

    return { clock, networks, account, processes, dead, ask, sendLoad, stop: () => stopper.abort() };
}

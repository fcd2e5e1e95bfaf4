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

/** Milliseconds; every third exchange tells everything. */
const exchangeInterval = 100;

/** Several processes that limit one account, with messages between them that tests can cut. */
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

    /** Asks once at a process; the ticket if it was admitted. */
    const ask = (index: number): AdmissionTicket | undefined => {
        const answer = processes[index]!.limits.admit(account);
        admitted += answer.isOk ? 1 : 0;
        return answer.isOk ? answer.value : undefined;
    };

    /** Every process of `indexes` asks `perSecond` times a second; returns what was admitted. */
    const flood = async (indexes: readonly number[], perSecond: number, seconds: number) => {
        const before = admitted;
        const gap = 1_000 / perSecond;
        for (let round = 0; round < seconds * perSecond; round++) {
            indexes.forEach(index => ask(index)?.release());
            await clock.advance(gap);
        }
        return admitted - before;
    };

    return { clock, networks, account, processes, dead, ask, flood, stop: () => stopper.abort() };
}

import { createSeededRandom, FakeClock } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../../../ports/peerRegistry.js";
import type { SentCalls } from "../../../retries/__fixtures__/countRepeats.js";
import {
    createWindowedRetryBudget,
    type RetryAllowance,
    type WindowedRetryBudget,
} from "../../../retries/createWindowedRetryBudget.js";
import { parseNotification } from "../../messages/notification.js";
import type { PeerAddress } from "../../peerChannel.js";
import { createRetryLeases, type RetryLeases } from "../createRetryLeases.js";

/** Options of {@link createRetryFleet}. */
export interface RetryFleetOptions {
    readonly seed: number;
    readonly processes: number;
    readonly allowance: RetryAllowance;
    /** Fraction of the datagrams that are lost; as many arrive twice. */
    readonly lossFraction?: number;
}

/** One process of the fleet. Its place stays while processes start there one after the other. */
interface Place {
    readonly peer: RegisteredPeer;
    budget: WindowedRetryBudget;
    leases: RetryLeases;
    /** Number of processes as this one knows. */
    knownProcesses: number | undefined;
    /** Aborted once the process has ended. */
    ended: AbortController;
    isPaused: boolean;
    isCutOff: boolean;
}

export const service = "engines";
const stepMilliseconds = 50;
const placementMilliseconds = 20;
const maxTransitMilliseconds = 3;
const maxAnswerMilliseconds = 400;
/** Interval at which processes learn how many there are. */
const listIntervalMilliseconds = 10_000;

/** Creates processes with the retry budget and the leases of the product, over a network that may fail. */
export function createRetryFleet({ seed, processes, allowance, lossFraction = 0 }: RetryFleetOptions) {
    const clock = new FakeClock();
    const random = createSeededRandom(seed);
    const sent: SentCalls = { requests: [], repeats: [] };
    const repeatsByPlace = new Map<number, number>();
    const places: Place[] = [];
    let datagrams = 0;

    const wait = (milliseconds: number) => clock.sleepUntil(clock.monotonicNow() + milliseconds);

    const waitWhilePaused = async (place: Place) => {
        while (place.isPaused) {
            await wait(stepMilliseconds);
        }
    };

    const deliver = async (from: Place, to: PeerAddress, datagram: Buffer) => {
        datagrams += 1;
        const receiver = places.find(({ peer }) => peer.port === to.port);
        await wait(1 + random.fraction() * maxTransitMilliseconds);
        if (!receiver || from.isCutOff || receiver.isCutOff || random.fraction() < lossFraction) {
            return;
        }
        await waitWhilePaused(receiver);
        const notification = parseNotification(datagram);
        const copies = random.fraction() < lossFraction ? 2 : 1;
        for (let copy = 0; notification && copy < copies; copy++) {
            receiver.leases.receive(notification, from.peer);
        }
    };

    const launch = (place: Place) => {
        place.ended = new AbortController();
        place.knownProcesses = undefined;
        place.budget = createWindowedRetryBudget({
            allowance: () => allowance,
            countProcesses: () => place.knownProcesses,
            clock,
        });
        place.leases = createRetryLeases({
            self: place.peer,
            budget: place.budget,
            listPeers: () => places.map(({ peer }) => peer),
            isRegistered: () => true,
            refreshPeers: () => undefined,
            send: (to, datagram) => void deliver(place, to, datagram),
            random,
            clock,
        });
        void learnProcesses(place, place.ended.signal);
    };

    /** A process reads the list at its start, and again at an interval that differs from those of the others. */
    const learnProcesses = async (place: Place, ended: AbortSignal) => {
        await wait(random.fraction() * stepMilliseconds);
        place.knownProcesses = places.length;
        await wait(random.fraction() * listIntervalMilliseconds);
        while (!ended.aborted) {
            await waitWhilePaused(place);
            place.knownProcesses = place.isCutOff ? place.knownProcesses : places.length;
            await wait(listIntervalMilliseconds);
        }
    };

    const join = () => {
        const number = places.length;
        const host = `10.0.${Math.floor(number / 250)}.${number % 250}`;
        const peer = { peerId: `entry-${number}`, host, port: number, availabilityZone: "zone-0", strength: 1 };
        const place = { peer, isPaused: false, isCutOff: false } as Place;
        places.push(place);
        launch(place);
    };

    /** Acquires a retry as a call does, sends it some time later, and has it answered. */
    const retry = async (place: Place): Promise<void> => {
        const { budget, leases, ended } = place;
        const demand = { wanted: 1, least: 1, hasStarted: true };
        const deadline = clock.monotonicNow() + 1_000;
        let permit = budget.tryAcquire(service, demand);
        if (!permit && await leases.request(service, deadline)) {
            permit = budget.tryAcquire(service, demand);
        }
        await wait(placementMilliseconds);
        await waitWhilePaused(place);
        const spent = ended.signal.aborted ? undefined : permit?.spend();
        if (!spent) {
            permit?.release();
            return;
        }
        sent.repeats.push(clock.monotonicNow());
        const number = places.indexOf(place);
        repeatsByPlace.set(number, (repeatsByPlace.get(number) ?? 0) + 1);
        await wait(random.fraction() * maxAnswerMilliseconds);
        spent.recordAnswered();
    };

    for (let index = 0; index < processes; index++) {
        join();
    }
    return {
        clock,
        places,
        sent,
        random,
        join,
        countDatagrams: () => datagrams,
        /** Number of repeats that one place has sent. */
        repeatsOf: (number: number) => repeatsByPlace.get(number) ?? 0,
        /** Ends the process of a place and starts another one there. */
        restart: (number: number) => {
            const place = places[number];
            if (place) {
                place.ended.abort();
                launch(place);
            }
        },
        /** Requests and wanted retries per second at a place, for a time in milliseconds. */
        run: async (
            milliseconds: number,
            perSecond: (number: number) => { requests: number; retries: number; },
            onStep: (step: number) => void = () => undefined,
        ) => {
            const steps = Math.round(milliseconds / stepMilliseconds);
            const draw = (rate: number) => Math.floor(rate * stepMilliseconds / 1_000 + random.fraction());
            for (let step = 0; step < steps; step++) {
                onStep(step);
                places.forEach((place, number) => {
                    const { requests, retries } = perSecond(number);
                    if (place.isPaused) {
                        return;
                    }
                    for (let count = draw(requests); count > 0; count--) {
                        place.budget.recordRequest(service);
                        sent.requests.push(clock.monotonicNow());
                    }
                    for (let count = draw(retries); count > 0; count--) {
                        void retry(place);
                    }
                });
                await clock.advance(stepMilliseconds);
            }
        },
    };
}

export type RetryFleet = ReturnType<typeof createRetryFleet>;

import { type Clock, type IdSource, toJson } from "daisyturn-utils";
import { z } from "zod";
import { ChangeState, type FleetConfigurationManager } from "../../process/configuration/index.js";
import { ChangeAction, type RemoveItem } from "../../version/configurationChange.js";
import { type ItemIdentity, ItemKind, type Service } from "../../version/configurationItems.js";
import { identitySchema } from "../../version/itemSchemas.js";
import { buildAnswer, buildInvalidInput } from "./operatorAnswers.js";
import { type OperatorIdentity, OperatorMethod, type OperatorRequest, type OperatorRoutes } from "./operatorRoutes.js";
import { publishForOperator, publishGuardsSchema } from "./publishForOperator.js";

/** Kinds of items under which requests run. They are therefore retired rather than just removed. */
const retirableKinds = [ItemKind.Profile, ItemKind.Service, ItemKind.CallerAccount] as const;
const maxWaitMilliseconds = 30_000;
/** Interval between two queries to all processes while an operator waits. */
const pollIntervalMilliseconds = 250;

const retireBodySchema = publishGuardsSchema.extend({
    kind: z.enum(retirableKinds),
    name: z.string(),
    /** For a profile: also removes the services that use it. */
    withServices: z.boolean().default(false),
}).strict();

const reportQuerySchema = z.object({
    generation: z.coerce.number().int().positive().optional(),
    waitMilliseconds: z.coerce.number().int().min(0).max(maxWaitMilliseconds).default(0),
});

/** Options of {@link createRetirementRoutes}. */
export interface RetirementRoutesOptions {
    readonly configurationManager: FleetConfigurationManager;
    readonly ids: IdSource;
    readonly clock: Clock;
}

/** Creates the routes that retire items and report when no request runs under them any more. */
export function createRetirementRoutes({ configurationManager, ids, clock }: RetirementRoutesOptions): OperatorRoutes {
    const retire = async ({ operator, body }: OperatorRequest) => {
        const parsed = retireBodySchema.safeParse(body);
        if (!parsed.success) {
            return buildInvalidInput(parsed.error);
        }
        const { kind, name, withServices, ...guards } = parsed.data;
        const repeated = await findRepeated(operator, guards.writeId);
        if (repeated) {
            return repeated;
        }
        const identity = { kind, partner: operator.partner, name };
        const services = withServices && kind === ItemKind.Profile ? findServicesUnder(identity) : [];
        const changes = [identity, ...services].map(createRemoval);
        return await publishForOperator(configurationManager, ids, operator, changes, guards);
    };

    /**
     * Detects a repeated request by its write id. Its changes can't identify it, because the services to be removed
     * with a profile are looked up again for each request.
     */
    const findRepeated = async (operator: OperatorIdentity, writeId: string | undefined) => {
        const outcome = writeId === undefined
            ? undefined
            : await configurationManager.outcomeOf(operator.partner, writeId);
        const known = outcome?.unwrapOr(undefined);
        return known?.state === ChangeState.Accepted ? buildAnswer({ writeId, ...known }) : undefined;
    };

    const findServicesUnder = ({ partner, name }: ItemIdentity) =>
        configurationManager.current().items.filter((item): item is Service =>
            item.kind === ItemKind.Service && item.partner === partner && item.profile === name
        );

    const showReport = async ({ operator, parameters, query }: OperatorRequest) => {
        const identity = identitySchema.safeParse({ ...parameters, partner: operator.partner });
        const parsed = reportQuerySchema.safeParse({
            generation: query.get("generation") ?? undefined,
            waitMilliseconds: query.get("wait-milliseconds") ?? undefined,
        });
        if (!identity.success || !parsed.success) {
            return buildInvalidInput((identity.error ?? parsed.error) as z.ZodError);
        }
        const { generation, waitMilliseconds } = parsed.data;
        const report = await waitForReport(identity.data, generation, clock.monotonicNow() + waitMilliseconds);
        return report.map(toJson);
    };

    const waitForReport = async (identity: ItemIdentity, generation: number | undefined, deadline: number) => {
        for (;;) {
            const report = await configurationManager.retirementOf(identity, generation);
            const isFinished = report.isErr || report.value.isComplete || clock.monotonicNow() >= deadline;
            if (isFinished) {
                return report;
            }
            await clock.sleepUntil(Math.min(deadline, clock.monotonicNow() + pollIntervalMilliseconds));
        }
    };

    return [
        { method: OperatorMethod.Post, path: "/v1/retirements", handle: retire },
        { method: OperatorMethod.Get, path: "/v1/retirements/:kind/:name", handle: showReport },
    ];
}

function createRemoval({ kind, partner, name }: ItemIdentity): RemoveItem {
    return { action: ChangeAction.Remove, identity: { kind, partner, name } };
}

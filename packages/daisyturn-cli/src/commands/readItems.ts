import { type ConfigurationItem, type ItemKind, OperatorMethod } from "daisyturn";
import type { JsonObject } from "daisyturn-utils";
import { z } from "zod";
import { formatPath, type OperatorClient } from "../client/createOperatorClient.js";
import { readAs } from "./commandContext.js";

const itemSchema = z.looseObject({ kind: z.string(), partner: z.string(), name: z.string() });
const pageSchema = z.object({ generation: z.number(), items: z.array(itemSchema), next: z.string().optional() });
const oneSchema = z.object({ generation: z.number(), item: itemSchema });
const operatorSchema = z.object({ partner: z.string(), name: z.string() });

/** Items of one generation. */
export interface ItemList {
    readonly generation: number;
    readonly items: readonly JsonObject[];
}

/** Reads all items of a kind that the operator may see. */
export async function readItems(client: OperatorClient, kind: ItemKind): Promise<ItemList> {
    const items: JsonObject[] = [];
    let after: string | undefined;
    for (;;) {
        const query = { kind, after };
        const answer = await client.call({
            method: OperatorMethod.Get,
            path: formatPath("items"),
            query,
            isRepeatable: true,
        });
        const page = readAs(pageSchema, answer);
        items.push(...page.items as JsonObject[]);
        after = page.next;
        if (after === undefined) {
            return { generation: page.generation, items };
        }
    }
}

/** Reads one item of the operator's partner. */
export async function readItem(client: OperatorClient, kind: ItemKind, name: string): Promise<ConfigurationItem> {
    const path = formatPath("items", kind, name);
    const answer = await client.call({ method: OperatorMethod.Get, path, isRepeatable: true });
    return readAs(oneSchema, answer).item as unknown as ConfigurationItem;
}

/** Reads the partner to which the operator's key belongs. */
export async function readPartner(client: OperatorClient): Promise<string> {
    const answer = await client.call({ method: OperatorMethod.Get, path: formatPath("operator"), isRepeatable: true });
    return readAs(operatorSchema, answer).partner;
}

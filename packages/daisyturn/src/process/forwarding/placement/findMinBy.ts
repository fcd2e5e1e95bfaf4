/** The item of the least cost; the first of several, and undefined if there is none of finite cost. */
export function findMinBy<Item>(items: readonly Item[], cost: (item: Item) => number): Item | undefined {
    let best: Item | undefined;
    let bestCost = Infinity;
    for (const item of items) {
        const itemCost = cost(item);
        if (itemCost < bestCost) {
            best = item;
            bestCost = itemCost;
        }
    }
    return best;
}

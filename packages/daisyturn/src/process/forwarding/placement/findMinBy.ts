/** Finds the item of the lowest cost: the first of several, and undefined if no item has a finite cost. */
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

import { absentVersion, type Row, type Transaction } from "../../ports/tableService.js";

/** Maximum number of rows that a group of several transactions writes. */
export const maxRowsPerGroup = 100;

/**
 * Whether a transaction can be merged with the others: none writes a row that another one writes or names in a
 * condition, and conditions on the same row expect the same version.
 */
export function canJoin(members: readonly Transaction[], candidate: Transaction): boolean {
    const rowCount = [...members, candidate].reduce((sum, member) => sum + member.writes.length, 0);
    return rowCount <= maxRowsPerGroup && members.every(member => areIndependent(member, candidate));
}

function areIndependent(left: Transaction, right: Transaction): boolean {
    return !writesRowOf(left, right) && !writesRowOf(right, left)
        && left.conditions.every(condition =>
            right.conditions.every(other =>
                other.key !== condition.key || other.expectedVersion === condition.expectedVersion
            )
        );
}

/** Whether `writer` writes a row that `other` writes or names in a condition. */
function writesRowOf(writer: Transaction, other: Transaction): boolean {
    const keys = new Set([...other.conditions, ...other.writes].map(item => item.key));
    return writer.writes.some(write => keys.has(write.key));
}

/** Merges several transactions into one. Each written row gets the write id of its own transaction. */
export function mergeTransactions(members: readonly Transaction[], groupId: string): Transaction {
    const conditions = new Map(members.flatMap(member => member.conditions).map(item => [item.key, item]));
    return {
        writeId: groupId,
        conditions: [...conditions.values()],
        writes: members.flatMap(member => member.writes.map(write => ({ ...write, writeId: member.writeId }))),
    };
}

/** The rows among the group's conflicts that make a member's own conditions fail. */
export function findMemberConflicts(member: Transaction, conflicts: readonly Row[]): readonly Row[] {
    return conflicts.filter(row =>
        member.conditions.some(condition =>
            condition.key === row.key && (condition.expectedVersion === absentVersion
                || condition.expectedVersion !== row.version)
        )
    );
}

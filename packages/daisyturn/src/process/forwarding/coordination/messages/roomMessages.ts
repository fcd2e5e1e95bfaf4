import { encodeNotification, type Notification, readAmount, readName, readOrUndefined } from "./notification.js";

/** Asks another process how busy it is. It is answered by a {@link RoomMessage}. */
export interface RoomRequest {
    readonly from: string;
}

/** How busy a process is. */
export interface RoomMessage {
    readonly from: string;
    /** Fraction of the time in which its event loop is busy, from 0 to 1. */
    readonly utilization: number;
}

export const roomRequestMethod = "request_room";
export const roomMethod = "room";

export function encodeRoomRequest(request: RoomRequest): Buffer {
    return encodeNotification(roomRequestMethod, request);
}

export function encodeRoom(message: RoomMessage): Buffer {
    return encodeNotification(roomMethod, message);
}

/** Decodes a request. Returns undefined if a field is missing or invalid. */
export function readRoomRequest({ method, params }: Notification): RoomRequest | undefined {
    return method === roomRequestMethod ? readOrUndefined(() => ({ from: readName(params["from"]) })) : undefined;
}

/** Decodes an answer. Returns undefined if a field is missing or invalid. */
export function readRoom({ method, params }: Notification): RoomMessage | undefined {
    return method === roomMethod
        ? readOrUndefined(() => ({ from: readName(params["from"]), utilization: readAmount(params["utilization"], 1) }))
        : undefined;
}

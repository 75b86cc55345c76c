/** The answers of `long-worker.mjs`: pieces of this size, so many, with this time between two of them, ms. */
export const PIECE_BYTES = 20_000;
export const PIECE_COUNT = 30;
export const PIECE_INTERVAL_MS = 50;
export const BODY_BYTES = PIECE_BYTES * PIECE_COUNT;

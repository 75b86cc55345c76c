import {Buffer} from 'node:buffer';

/** Chunks of at least this size are kept as they are; smaller ones are copied together, as each costs some hundred bytes beside its content. */
const MIN_OWN_CHUNK_BYTES = 4096;
const FIRST_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/** Bytes of a body in the order of their arrival, at a cost that depends on their number and not on that of the chunks. */
export class BodyBuffer {
	readonly #chunks: Buffer[] = [];
	/** Block that small chunks are copied to; its first `#blockUsed` bytes are the last ones of the body. */
	#block: Buffer | undefined;
	#blockUsed = 0;
	#bytes = 0;

	/** Bytes that have been pushed and not been shifted. */
	get bytes(): number {
		return this.#bytes;
	}

	push(chunk: Buffer): void {
		this.#bytes += chunk.length;
		// The first chunk of a body is often the only one.
		const isOwn = chunk.length >= MIN_OWN_CHUNK_BYTES || (this.#chunks.length === 0 && !this.#block);
		if (isOwn) {
			this.#sealBlock();
			this.#chunks.push(ownMemory(chunk));
			return;
		}

		let copied = 0;
		while (copied < chunk.length) {
			const block = this.#getBlock();
			const count = chunk.copy(block, this.#blockUsed, copied);
			this.#blockUsed += count;
			copied += count;
		}
	}

	/** Takes the first bytes; `undefined` if there are none. */
	shift(): Buffer | undefined {
		if (this.#chunks.length === 0) {
			this.#sealBlock();
		}

		const chunk = this.#chunks.shift();
		this.#bytes -= chunk?.length ?? 0;
		return chunk;
	}

	/** Takes all bytes. */
	takeAll(): Buffer {
		this.#sealBlock();
		const bytes = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
		this.clear();
		return bytes;
	}

	clear(): void {
		this.#chunks.length = 0;
		this.#block = undefined;
		this.#blockUsed = 0;
		this.#bytes = 0;
	}

	#getBlock(): Buffer {
		if (this.#block && this.#blockUsed < this.#block.length) {
			return this.#block;
		}

		const size = this.#block ? Math.min(MAX_BLOCK_BYTES, this.#block.length * 2) : FIRST_BLOCK_BYTES;
		this.#sealBlock();
		this.#block = Buffer.allocUnsafeSlow(size);
		return this.#block;
	}

	#sealBlock(): void {
		if (this.#block && this.#blockUsed > 0) {
			this.#chunks.push(ownMemory(this.#block.subarray(0, this.#blockUsed)));
		}

		this.#block = undefined;
		this.#blockUsed = 0;
	}
}

/** Returns the bytes in memory of about their size: a small part would keep a whole block alive. */
function ownMemory(bytes: Buffer): Buffer {
	if (bytes.buffer.byteLength <= 2 * bytes.length) {
		return bytes;
	}

	const copy = Buffer.allocUnsafeSlow(bytes.length);
	bytes.copy(copy);
	return copy;
}

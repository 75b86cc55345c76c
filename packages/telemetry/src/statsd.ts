import {StatsD} from 'hot-shots';

/** Address of the StatsD server and the tags to send. */
export type StatsdOptions = {
	/** Host name or IP address of the StatsD server. */
	readonly host: string;
	readonly port: number;
	/** Tags added to every metric. */
	readonly tags: Readonly<Record<string, string>>;
};

/** Creates a StatsD client whose socket does not keep the process alive. Send errors are ignored. */
export function createStatsdClient({host, port, tags}: StatsdOptions): StatsD {
	const client = new StatsD({
		// `maxBufferSize` is the maximum size of a datagram, bytes; it is below the usual MTU of 1500 bytes.
		host, port, prefix: 'apricotwood.', globalTags: {...tags}, maxBufferSize: 1200, errorHandler() {},
	});
	(client.socket as unknown as {unref?: () => void}).unref?.();
	return client;
}

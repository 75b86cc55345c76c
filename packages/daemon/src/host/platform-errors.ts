import type {Log} from '@apricotwood/telemetry';

/** Runs a task and ignores platform errors, because the task is repeated; other errors count as a failure of the background task. @param part name of the task in the log. */
export async function toleratePlatformErrors(log: Log, part: string, task: () => Promise<void>): Promise<void> {
	try {
		await task();
	} catch (error) {
		if ((error as Error).name !== 'PlatformError') {
			throw error;
		}

		log.debug({event: 'platform-silent', part, reason: (error as Error).message});
	}
}

import type {LogLine} from '@apricotwood/telemetry';
import {Args, Flags} from '@oclif/core';
import {BaseCommand, ExitCode} from '../base.js';
import {collectTrace} from '../trace.js';

/** Span around a request in which other lines may have to do with it. */
const DEFAULT_WINDOW_MS = 3000;

/** Follows a request through the logs of all hosts. */
export default class Trace extends BaseCommand {
	static override description = 'Shows what the logs say of a request: its own lines, and what its host learnt of the workers, the source and the configuration around it.';
	static override examples = ['<%= config.bin %> trace 9c41d07be2a35f68 --logs logs/'];
	static override args = {id: Args.string({required: true, description: 'the request\'s id'})};
	static override flags = {
		logs: Flags.string({required: true, description: 'a log file, or a folder of log files'}),
		around: Flags.integer({default: DEFAULT_WINDOW_MS, min: 0, description: 'span before and after the request, ms'}),
	};

	async run(): Promise<readonly LogLine[]> {
		const {args, flags} = await this.parse(Trace);
		const trace = collectTrace(this.readLogLines(flags.logs), args.id, flags.around);
		if (trace.length === 0) {
			this.error(`no line names request ${args.id} in ${flags.logs}`, {exit: ExitCode.Failed});
		}

		for (const {at, self, event, ...fields} of trace) {
			this.log(`${new Date(at).toISOString()} ${self} ${event} ${JSON.stringify(fields)}`);
		}

		return trace;
	}
}

import {writeFileSync} from 'node:fs';
import {recordPattern} from '@apricotwood/experiment';
import {Flags} from '@oclif/core';
import {BaseCommand, ExitCode} from '../../base.js';

const DEFAULT_SLOTS_PER_WORKER = 4;

/** Makes a load pattern of logs. */
export default class ExperimentRecord extends BaseCommand {
	static override description = 'Makes a load pattern of the logs of all hosts: who asked for what, where and when, the workers, and the times that were learnt.';
	static override examples = ['<%= config.bin %> experiment record --logs logs/ --out load.json --slots board=6 --round-trip 24'];
	static override flags = {
		logs: Flags.string({required: true, description: 'a log file, or a folder of log files'}),
		out: Flags.string({required: true, description: 'file for the pattern'}),
		slots: Flags.string({multiple: true, default: [], description: 'slots of a worker, as SERVICE=N; others have 4'}),
		region: Flags.string({multiple: true, default: [], description: 'region of a zone, as ZONE=REGION; otherwise each zone is one of its own'}),
		'round-trip': Flags.integer({default: 0, min: 0, description: 'round trip between two regions, ms'}),
	};

	async run(): Promise<{arrivals: number; services: number}> {
		const {flags} = await this.parse(ExperimentRecord);
		const lines = this.readLogLines(flags.logs);
		const regions = this.#parsePairs('region', flags.region);
		const slots = new Map([...this.#parsePairs('slots', flags.slots)].map(([service, text]) => [service, this.#parseSlots(service, text)]));
		const pattern = recordPattern(lines, zone => regions.get(zone) ?? zone, {
			slots, defaultSlots: DEFAULT_SLOTS_PER_WORKER, roundTripMs: flags['round-trip'],
		});
		writeFileSync(flags.out, JSON.stringify(pattern));
		this.log(`${pattern.arrivals.length} requests of ${pattern.routes.length} routes on ${pattern.services.length} services`);
		return {arrivals: pattern.arrivals.length, services: pattern.services.length};
	}

	#parsePairs(flag: string, texts: readonly string[]): Map<string, string> {
		return new Map(texts.map(text => {
			const [key, value] = text.split('=');
			if (!key || !value) {
				this.error(`--${flag}: ${text} is not NAME=VALUE`, {exit: ExitCode.BadInput});
			}

			return [key, value];
		}));
	}

	#parseSlots(service: string, text: string): number {
		const slots = Number(text);
		return Number.isSafeInteger(slots) && slots > 0 ? slots : this.error(`--slots: ${service}=${text} is no number of slots`, {exit: ExitCode.BadInput});
	}
}

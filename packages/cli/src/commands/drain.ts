import {type DrainKind} from '@apricotwood/agreement';
import {Args} from '@oclif/core';
import {fetchCurrentAgreement, sendPatch, type AcceptedPatch} from '../agreement.js';
import {BaseCommand} from '../base.js';
import {DRAIN_KIND_ARG, createDrainChange} from '../drain.js';

/** Stops new work at a place. */
export default class Drain extends BaseCommand {
	static override description = 'Stops new work at a worker, site, zone, host or region; what runs finishes.';
	static override examples = ['<%= config.bin %> drain worker fleet-board-1'];
	static override args = {
		kind: Args.string(DRAIN_KIND_ARG),
		name: Args.string({required: true, description: 'name of the place'}),
	};

	async run(): Promise<AcceptedPatch> {
		const {args, flags} = await this.parse(Drain);
		const client = this.createClient(flags);
		const {version} = await fetchCurrentAgreement(client);
		const answer = await sendPatch(client, version, [createDrainChange(args.kind as DrainKind, args.name, true)]);
		this.log(`version ${answer.version}: ${args.kind} ${args.name} takes no new work`);
		return answer;
	}
}

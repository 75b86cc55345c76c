import {BaseCommand} from '../../base.js';

type Status = {
	readonly version: number;
	readonly hosts: ReadonlyArray<{id: string; phase: string; version?: number; pending: readonly string[]}>;
};

/** Prints the agreement version in force on each host. */
export default class AgreementStatus extends BaseCommand {
	static override description = 'Shows the version in force on each host, and the resources whose lowered limits are still pending there.';

	async run(): Promise<Status> {
		const {flags} = await this.parse(AgreementStatus);
		const answer = await this.createClient(flags).get<Status>('/v1/agreement/status');
		this.log(`version ${answer.version}`);
		this.printTable(['host', 'phase', 'version', 'pending'], answer.hosts.map(({id, phase, version, pending}) => [id, phase, version, pending.join(' ') || undefined]));
		return answer;
	}
}

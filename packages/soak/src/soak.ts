import {setTimeout as pause} from 'node:timers/promises';
import type {Random} from '@apricotwood/clock';
import {Callers} from './callers.js';
import {drawPlan, type Fault, type FaultKind} from './plan.js';
import {ALWAYS, TIMED, judge, type Breach} from './promises.js';
import type {Records} from './records.js';
import {strike} from './strike.js';
import {World, type WorldOptions} from './world.js';

export type SoakOptions = WorldOptions & {
	/** How long faults are injected, ms. */
	readonly spanMs: number;
	/** Kinds of faults. @default all */
	readonly kinds?: readonly FaultKind[];
	/** Whether promises with a bound in time are judged as well. */
	readonly isTimed: boolean;
};

export type SoakResult = {
	readonly plan: readonly Fault[];
	readonly records: Records;
	readonly breaches: readonly Breach[];
};

/** Time from the end of the last fault until everything must be back, and for which it is then watched, ms. */
const RECOVERY_MS = 4000;
const CALM_MS = 2500;

/** Runs the hosts under the faults of one seed, and judges what was seen from outside. */
export async function soak(random: Random, options: SoakOptions): Promise<SoakResult> {
	const plan = drawPlan(random, options.spanMs, options.kinds);
	const world = new World(options);
	const {records} = world;
	const breaches: Breach[] = [];
	try {
		await world.start();
		const callers = new Callers(world, random);
		callers.start();
		const startMs = Date.now();
		await Promise.all(plan.map(async fault => {
			await pause(Math.max(0, startMs + fault.atMs - Date.now()));
			await strike(world, fault);
		}));
		const missing = await world.heal();
		await pause(RECOVERY_MS);
		records.calmFromMs = Date.now();
		await pause(CALM_MS);
		await callers.stop();
		breaches.push(...missing.map(subject => ({promise: 'recover', subject, message: 'did not become ready after everything was healed'})));
	} finally {
		await world.stop();
	}

	breaches.push(...judge(records, options.isTimed ? {...ALWAYS, ...TIMED} : ALWAYS));
	return {plan, records, breaches};
}

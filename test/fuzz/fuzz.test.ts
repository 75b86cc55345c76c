import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	PartName, createPart, runCampaign,
} from '@apricotwood/fuzz';

const SEED = 41;
/** Time in which scripts start, for each part, ms. */
const MAX_START_MS = 5000;
/** Scripts that even a busy machine plays in that time. */
const MIN_RUNS = 10;
/** Runs at the same time; few, as other tests run beside these. */
const LANES = 10;
const RUNS: Readonly<Record<PartName, number>> = {[PartName.Worker]: 300, [PartName.Rows]: 60};

for (const name of Object.values(PartName)) {
	test(`${name}: generated scripts break no rule (seed ${SEED})`, async t => {
		const {runs, failed, uncaught} = await runCampaign(createPart(name), {
			runs: RUNS[name], seed: SEED, lanes: LANES, maxMs: MAX_START_MS,
		});
		t.diagnostic(`${runs} scripts`);
		assert.ok(runs >= MIN_RUNS, `only ${runs} scripts were played`);
		assert.deepEqual({failed, uncaught}, {failed: [], uncaught: []});
	});
}

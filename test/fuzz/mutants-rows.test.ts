import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MUTANTS, PartName, RuleName} from '@apricotwood/fuzz';
import {testMutants} from '../fixtures/mutant-tests.js';

testMutants(PartName.Rows);

test('each rule has a mutant', () => {
	assert.deepEqual(new Set(Object.values(MUTANTS).map(({rule}) => rule)), new Set(Object.values(RuleName)));
});

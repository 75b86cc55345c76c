import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AttemptSign, WaitingList, WorkerJudge} from '@apricotwood/steering';

test('waiting: in time before late, urgent before less urgent, returning before new, then by what is left', () => {
	const list = new WaitingList<string>(10);
	list.add({item: 'late', priority: 0, targetAtMs: 50, isReturning: true});
	list.add({item: 'new', priority: 1, targetAtMs: 200, isReturning: false});
	list.add({item: 'urgent', priority: 0, targetAtMs: 900, isReturning: false});
	list.add({item: 'returning', priority: 1, targetAtMs: 300, isReturning: true});
	list.add({item: 'tight', priority: 1, targetAtMs: 150, isReturning: false});
	assert.deepEqual(list.inOrder(100).map(({item}) => item), ['urgent', 'returning', 'tight', 'new', 'late']);
});

test('judge: an unreachable worker rests longer each time and needs a check', () => {
	const judge = new WorkerJudge();
	judge.sign(1, AttemptSign.Unreachable, 0);
	assert.equal(judge.isTrusted(1, 10_000), false);
	assert.equal(judge.isCheckDue(1, 399), false);
	assert.equal(judge.isCheckDue(1, 400), true);
	judge.recordCheck(1, false, 400);
	assert.equal(judge.isCheckDue(1, 1100), false);
	judge.recordCheck(1, true, 1300);
	assert.equal(judge.isTrusted(1, 1300), true);
});

test('judge: a worker that sheds a part of its requests keeps its objects, one that fails nearly all rests', () => {
	const judge = new WorkerJudge();
	for (let index = 0; index < 40; index++) {
		judge.sign(1, index % 2 === 0 ? AttemptSign.Shed : AttemptSign.Good, index);
		judge.sign(2, AttemptSign.Failed, index);
	}

	assert.equal(judge.isTrusted(1, 40), true);
	assert.equal(judge.isTrusted(2, 40), false);
	assert.equal(judge.isTrusted(2, 2000), true, 'it is tried again');
});

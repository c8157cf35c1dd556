import { test } from 'node:test';
import { expect } from 'earl';
import { getSignalEffect } from '../../src/commands/signalController.js';

test('only the first stop signal changes anything', () => {
  expect(getSignalEffect({ isStopSignal: true, isStopping: false })).toEqual('stopping');
  expect(getSignalEffect({ isStopSignal: true, isStopping: true })).toEqual('already stopping');
  expect(getSignalEffect({ isStopSignal: false, isStopping: false })).toEqual('ignored');
  expect(getSignalEffect({ isStopSignal: false, isStopping: true })).toEqual('ignored');
});

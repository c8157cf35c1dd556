/** Opens the log that a command works on. */
import { HttpLog } from '../transports/httpLog.js';
import { getRequired, UsageError, type Arguments } from './command.js';

/** Opens the log that `--log` names. */
export function openLog(values: Arguments['values']): HttpLog {
  const url = getRequired(values, 'log');
  if (!URL.canParse(url)) {
    throw new UsageError(`--log: expected a URL, found '${url}'`);
  }
  return new HttpLog({ url });
}

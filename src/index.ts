/** The public API of the package. */
export { Router, createIncarnation, type RouterOptions } from './router.js';
export { createRouter } from './commands/routerCommand.js';
export { auditLog, type AuditReport, type LogDump } from './audit/auditLog.js';
export { codes, createRefusal, type CodeName, type Refusal } from './core/codes.js';
export { createLogger } from './core/logging.js';
export { createMetrics, type Metrics } from './core/metrics.js';
export { parseSettings, readSettings, type Settings } from './core/settings.js';
export { SystemTimers, TimerService, VirtualTimers } from './core/timers.js';
export { checkRules } from './rules/checker.js';
export { RulesSession, createEdit } from './rules/editor.js';
export { HttpEndpointClient } from './transports/httpEndpointClient.js';
export { HttpLog } from './transports/httpLog.js';
export { HttpVmList } from './transports/httpVmList.js';
export { HttpPeerClient } from './peers/peerRpc.js';
export * from './types/ids.js';
export * from './types/platform.js';
export * from './types/endpoints.js';

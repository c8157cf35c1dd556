/** Configurations as the operator writes them. */

export const HOST = 'yard.example';

/** Returns a route with the usual figures. */
export function createRoute(name, fields) {
  return {
    name,
    hostname: HOST,
    pathPrefix: `/${name}/`,
    type: 'idempotent',
    timeoutMs: 3_000,
    latencyTargetMs: 300,
    priority: 1,
    attempts: 2,
    public: true,
    sticky: false,
    resumable: false,
    ...fields,
  };
}

/** Returns the service of model engines. */
export function createService(name, fields = {}) {
  return { name, healthPath: '/healthz', maxConns: 370, protocol: 'h1', tls: false, ...fields };
}

export function createConfig(version, routes, services, fields = {}) {
  return {
    version,
    routes,
    services,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...fields,
  };
}

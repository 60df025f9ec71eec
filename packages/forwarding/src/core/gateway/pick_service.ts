/** Picks the service of a request if its route is split over several. Pure. */
import {stableHash, type ServiceId} from '@azurecrank/core';
import type {Route} from '../routing/routing_table.js';

/**
 * Picks by a hash of the request id, so that the requests of each entry follow
 * the weights and every entry picks the same service for a request.
 */
export function pickService(route: Route, request: string): ServiceId {
  const {services} = route;
  if (services.length === 1) return services[0].service;
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = (stableHash(request) / 2 ** 32) * total;
  for (const {service, weight} of services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return services[services.length - 1].service;
}

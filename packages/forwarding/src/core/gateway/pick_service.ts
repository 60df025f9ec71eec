/** Chooses the service of a request among those its route is split over. */
import {stableHash, type ServiceId} from '@azurecrank/core';
import type {Route} from '../routing/routing_table.js';

/** By hash of the request's id, so that every entry follows the weights. */
export function pickService(route: Route, request: string): ServiceId {
  const {services} = route;
  if (services.length === 1) return services[0].service;
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let left = (stableHash(request) / 2 ** 32) * total;
  for (const {service, weight} of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return services[services.length - 1].service;
}

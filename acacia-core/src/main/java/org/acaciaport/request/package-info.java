/**
 * The requests of callers and their outcomes: {@link org.acaciaport.request.Request} and
 * {@link org.acaciaport.request.Outcome}.
 */
package org.acaciaport.request;

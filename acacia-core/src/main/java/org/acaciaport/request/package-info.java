/**
 * What callers ask for and what they are told: {@link org.acaciaport.request.Request} and
 * {@link org.acaciaport.request.Outcome}.
 */
package org.acaciaport.request;
